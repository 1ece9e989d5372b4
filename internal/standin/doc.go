// Package standin simulates the platform, targets and a faulty network for tests
// and demonstrations. All state is kept in memory.
package standin
