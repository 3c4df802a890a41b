// The platform sends SIGHUP when the settings file has changed. It may arrive before the Go runtime and the packages are
// initialised, when its default action would end the process. It is ignored until its handler is installed: the file is
// read after that anyway.

package main

/*
#include <signal.h>
#include <string.h>

// ignoreHangup runs before the runtime; the C library hands the command line to it. What is ignored
// here the runtime leaves so until somebody asks for it.
static void __attribute__((constructor)) ignoreHangup(int argc, char **argv) {
	for (int i = 1; i < argc; i++)
		if (strcmp(argv[i], "--on-platform") == 0)
			signal(SIGHUP, SIG_IGN);
}
*/
import "C"
