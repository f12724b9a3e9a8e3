//go:build !race

package lanes

const race = false
