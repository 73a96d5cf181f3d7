// Package kctsetting reads the settings of an entry from flags, environment
// variables and a JSON file, and validates all of them before the entry starts.
package kctsetting
