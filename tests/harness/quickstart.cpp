#include "harness/mesh.h"
#include "harness/quickstartrun.h"
#include "process/shutdownsignal.h"

#include <cxxopts.hpp>

#include <iostream>

using namespace mimosarun;

int
main(int aCount, char** aValues)
{
  cxxopts::Options options("quickstart", "Runs a whole deployment on this machine and shows what it does");
  options.add_options()("brianza", "Deployment of Lavanderia Software Brianza")(
    "pettigrew",
    "Deployment of Pettigrew & Sons (the default)")("hold", "Go on until a signal")("help", "Print help");
  try {
    const auto parsed = options.parse(aCount, aValues);
    if (parsed.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    ShutdownSignal signal;
    Mesh mesh(parsed.count("brianza") > 0 ? BrianzaMesh() : PettigrewMesh());
    return RunQuickstart(mesh, parsed.count("hold") > 0 ? &signal : nullptr);
  } catch (const cxxopts::exceptions::exception& fault) {
    std::cerr << fault.what() << "; see --help\n";
    return 2;
  }
}
