#include <iostream>

int main(int argc, char** argv) {
  if (argc > 1) std::cerr << "unknown command: " << argv[1] << "\n";
  return 2;
}
