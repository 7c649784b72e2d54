#include "command_line.hpp"

int main(int argc, char** argv)
{
    return oriole::ctl::runCommandLine(argc, argv);
}
