// Package jkspec contains the tests that check the Promela models of the core protocol
// in spec/ with the model checker spin. It contains no code that a program uses.
// docs/model-checking.md describes the models.
package jkspec
