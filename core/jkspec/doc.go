// Package jkspec holds the test that checks the Promela models of the core
// protocol under spec/ with spin. docs/model-checking.md describes the models.
package jkspec
