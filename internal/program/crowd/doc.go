// Package crowd holds tests that run the real program as processes on loopback and let crowds of clients without limits connect to each of its
// listeners. The tests check the processes' memory and sockets and that ordinary requests are answered; nothing of it depends on speed.
package crowd
