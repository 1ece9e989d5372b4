// Package e2e runs cells of real processes on the loopback interface for tests.
// Routers, placers and targets can be killed, paused and cut off; the platform
// and the links run in the test process. Tests check the targets' run records
// against the outcomes that callers received.
package e2e
