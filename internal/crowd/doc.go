// Package crowd holds tests in which many clients at once go beyond what a process can
// hold: large bodies that do not end, heads of many fields, connections that send or
// read slowly or not at all. Each test starts a process of mangopost-entry or
// mangopost-router with little memory and few descriptors. It checks only that the
// process lives, that its peak memory and open descriptors stay within the limits of
// its settings, and that an ordinary request is answered afterwards.
package crowd
