package experiment

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Difference is the difference in service of one policy between two experiments, B minus A. Runs are paired by seed, so
// that the effect of the load, which is the same in both, cancels out. Low and High are the bounds of a 90 % bootstrap
// interval of the mean difference.
type Difference struct {
	Policy string  `json:"policy"`
	Pairs  int     `json:"pairs"`      // number of seeds
	A      float64 `json:"a"`          // mean service in the first experiment
	B      float64 `json:"b"`          // mean service in the second experiment
	Mean   float64 `json:"difference"` // mean of B minus A
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// Verdict returns in words whether the second experiment is better.
func (d Difference) Verdict() string {
	switch {
	case d.Pairs < minPairs:
		return "too few seeds to tell"
	case d.Low > 0:
		return "better"
	case d.High < 0:
		return "worse"
	}
	return "no clear difference"
}

const (
	minPairs         = 4    // minimum number of pairs; with fewer the interval means nothing
	bootstrapSamples = 2000 // number of bootstrap samples of the pairs
	tailShare        = 0.05 // share of the samples' means on either side of the interval
)

// Compare pairs the runs of two experiments by policy and seed, and returns the difference of each policy. It returns an
// error if only one of them has a run, because a comparison without that run would look complete.
func Compare(a, b []Run) ([]Difference, error) {
	type pair struct{ a, b float64 }
	type key struct {
		policy string
		seed   int
	}
	second := map[key]float64{}
	for _, r := range b {
		second[key{r.Policy, r.Seed}] = r.Service
	}
	pairs := map[string][]pair{}
	var order []string
	for _, r := range a {
		k := key{r.Policy, r.Seed}
		other, ok := second[k]
		if !ok {
			return nil, fmt.Errorf("policy %s with seed %d is in the first experiment only", r.Policy, r.Seed)
		}
		delete(second, k)
		if len(pairs[r.Policy]) == 0 {
			order = append(order, r.Policy)
		}
		pairs[r.Policy] = append(pairs[r.Policy], pair{r.Service, other})
	}
	unpaired := []key{}
	for k := range second {
		unpaired = append(unpaired, k)
	}
	if len(unpaired) > 0 {
		k := slices.MinFunc(unpaired, func(x, y key) int { return cmp.Or(cmp.Compare(x.policy, y.policy), cmp.Compare(x.seed, y.seed)) })
		return nil, fmt.Errorf("policy %s with seed %d is in the second experiment only", k.policy, k.seed)
	}
	var differences []Difference
	for _, policy := range order {
		difference := Difference{Policy: policy, Pairs: len(pairs[policy])}
		n := float64(difference.Pairs)
		for _, p := range pairs[policy] {
			difference.A, difference.B, difference.Mean = difference.A+p.a/n, difference.B+p.b/n, difference.Mean+(p.b-p.a)/n
		}
		rng := rand.New(rand.NewPCG(1, uint64(difference.Pairs))) // fixed seed: the same pairs give the same interval
		means := make([]float64, bootstrapSamples)
		for i := range means {
			for range pairs[policy] {
				p := pairs[policy][rng.IntN(difference.Pairs)]
				means[i] += (p.b - p.a) / n
			}
		}
		slices.Sort(means)
		difference.Low, difference.High = quantile(means, tailShare), quantile(means, 1-tailShare)
		differences = append(differences, difference)
	}
	return differences, nil
}
