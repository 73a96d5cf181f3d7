// Package kcttimer implements the Timer interface with the real clock.
package kcttimer
