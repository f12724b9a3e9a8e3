//go:build race

package session

const race = true
