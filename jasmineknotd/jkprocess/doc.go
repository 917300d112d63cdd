// Package jkprocess holds the process tests: daemons and stand-ins run as
// separate processes on loopback while tests kill, freeze, stop, restart and
// partition them. It holds test code only; tests within one process are in the
// packages of core.
//
// The programs are built once for each test run. `-run` selects tests,
// `-jkprocess.seeds` sets the number of seeds of TestRandomFaults, and
// `-jkprocess.logs` names a folder in which the logs of the processes are kept.
package jkprocess
