// Package jkprocess holds the process tests: daemons and stand-ins run as
// separate processes on loopback while tests kill, freeze, stop, restart and
// partition them. Everything in it is test code.
//
// The tests build the programs once for each run. `-run` selects tests,
// `-jkprocess.seeds` makes the random test longer, and `-jkprocess.logs` names
// a folder that keeps the logs of the processes.
package jkprocess
