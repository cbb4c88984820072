// Package soak holds a randomised test that runs the real program as separate processes and injects faults from outside:
// SIGKILL, SIGSTOP and SIGTERM to the processes, loopback proxies before the platform store and the upstreams that delay
// data, reset connections or forward nothing, and upstreams that take time, refuse, break off, crash, freeze and leave.
package soak
