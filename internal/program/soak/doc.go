// Package soak holds a randomized test that runs the real program as separate processes and injects faults from outside
// them: SIGKILL, SIGSTOP, SIGTERM, and a loopback proxy before the platform's store that delays, resets or silences.
package soak
