package crashcause

import "math"

// minShare is the least share of requests that a part is assumed to have, and shareFactor the
// factor between two shares that are tried.
const (
	minShare    = 0.002
	shareFactor = 1.25
)

// chanceIfSound returns the highest chance that a sound part occurs in so many of the crashes
// though none of so many answered requests has it, over all shares of requests that the part may
// have. prompts is the mean number of prompts under which a server has crashed.
func chanceIfSound(occurs, crashes int, prompts float64, answers int64) float64 {
	if answers == 0 {
		return 1
	}
	highest := 0.0
	for share := minShare; share < 1; share *= shareFactor {
		inOneCrash := 1 - math.Pow(1-share, prompts)
		highest = max(highest, atLeast(occurs, crashes, inOneCrash)*math.Pow(1-share, float64(answers)))
	}
	return highest
}

// atLeast returns the chance that at least k of n independent events happen, each of which has
// the given chance.
func atLeast(k, n int, chance float64) float64 {
	if chance >= 1 {
		return 1
	}
	coefficient, _ := math.Lgamma(float64(n + 1))
	happen, _ := math.Lgamma(float64(k + 1))
	others, _ := math.Lgamma(float64(n - k + 1))
	term := math.Exp(coefficient - happen - others + float64(k)*math.Log(chance) + float64(n-k)*math.Log1p(-chance))
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += term
		term *= float64(n-i) / float64(i+1) * chance / (1 - chance)
	}
	return min(sum, 1)
}
