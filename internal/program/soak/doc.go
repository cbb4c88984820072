// Package soak holds a randomised test that runs the real program as separate processes and injects faults from outside:
// SIGKILL, SIGSTOP and SIGTERM to the processes, and a loopback proxy between each daemon and the platform store that
// delays data, resets connections or forwards nothing.
package soak
