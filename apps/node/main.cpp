#include <savorywheel/node/native_front_end.hpp>

#include <common/node_program.hpp>

int main(int argc, char** argv)
{
    using namespace savorywheel;
    return run_node_program("savorywheel-node", argc, argv,
                            [](const node_settings&) -> std::unique_ptr<front_end> {
                                return std::make_unique<native_front_end>();
                            });
}
