// The platform sends SIGHUP when the settings file has changed. The signal may arrive before the Go runtime and the
// packages are initialised. Its default action would then end the process, so it is ignored until its handler is
// installed. No change is missed, because the settings file is read only after that.

package main

/*
#include <signal.h>
#include <string.h>

// ignoreHangup runs before the Go runtime starts; the C library passes the command line to it. The runtime
// leaves the signal ignored until the program calls signal.Notify for it.
static void __attribute__((constructor)) ignoreHangup(int argc, char **argv) {
	for (int i = 1; i < argc; i++)
		if (strcmp(argv[i], "--on-platform") == 0)
			signal(SIGHUP, SIG_IGN);
}
*/
import "C"
