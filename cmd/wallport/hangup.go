// A SIGHUP says that the platform's settings file has changed. It may come before the runtime and
// the packages are up: until its handler stands it is ignored, for the file is yet to be read then.
// By default it would end the process.

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
