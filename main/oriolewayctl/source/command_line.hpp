/// @file
/// @brief Command line of oriolewayctl.
#pragma once

namespace oriole::ctl {

/// @brief Parses the command line and runs the command.
/// @return The exit code of the process.
int runCommandLine(int argc, char** argv);

} // namespace oriole::ctl
