//go:build !race

package lanes

const raceEnabled = false
