//go:build race

package lanes

const race = true
