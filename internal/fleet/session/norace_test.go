//go:build !race

package session

const race = false
