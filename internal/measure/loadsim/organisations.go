package loadsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Loudness is a time in which one organisation submits Factor times its usual.
type Loudness struct {
	Organisation int
	At, Length   time.Duration
	Factor       float64
}

const (
	// organisations is how many submit jobs in the patterns that have any.
	organisations = 20
	// organisationSkew is the exponent by which organisations get smaller.
	organisationSkew = 1.2
	// weightScale is the weight of the largest organisation.
	weightScale = 100
	// worstOrganisationsShare is the part of the organisations that count as the worst.
	worstOrganisationsShare = 0.1
)

// usual returns the part of all jobs that an organisation submits when none is loud.
func (p *Pattern) usual(organisation int) float64 {
	total := 0.0
	for i := range p.Organisations {
		total += math.Pow(float64(i+1), -organisationSkew)
	}
	return math.Pow(float64(organisation+1), -organisationSkew) / total
}

func organisationName(organisation int) string { return fmt.Sprintf("o%02d", organisation) }

// weights returns the organisations' weights, proportional to their usual rates.
func (p *Pattern) weights() map[string]int {
	if p.Organisations == 0 || p.NoShares {
		return nil
	}
	weights := make(map[string]int)
	for i := range p.Organisations {
		weights[organisationName(i)] = max(1, int(weightScale*p.usual(i)/p.usual(0)))
	}
	return weights
}

// loudFactor returns by how much an organisation submits more than its usual.
func (p *Pattern) loudFactor(organisation int, at time.Duration) float64 {
	for _, l := range p.Loud {
		if l.Organisation == organisation && at >= l.At && at < l.At+l.Length {
			return l.Factor
		}
	}
	return 1
}

// totalLoudness returns the demand of all organisations at a time, relative to the
// usual.
func (p *Pattern) totalLoudness(at time.Duration) float64 {
	total := 1.0
	for i := range p.Organisations {
		total += (p.loudFactor(i, at) - 1) * p.usual(i)
	}
	return total
}

// assign draws the organisation of a job, and whether the job is within what the
// organisation usually submits.
func (p *Pattern) assign(random *rand.Rand, h *submission) {
	if p.Organisations == 0 {
		return
	}
	drawn := random.Float64() * p.totalLoudness(h.at)
	for i := range p.Organisations {
		factor := p.loudFactor(i, h.at)
		drawn -= factor * p.usual(i)
		if drawn < 0 || i == p.Organisations-1 {
			h.record.Organisation = organisationName(i)
			h.beyond = random.Float64() > 1/factor
			return
		}
	}
}

// worstOrganisations returns the mean credit of the worst tenth of the organisations,
// of the jobs that are within what they usually submit.
func (p *Pattern) worstOrganisations(jobs []*submission) float64 {
	if p.Organisations == 0 {
		return 1
	}
	byOrganisation := make(map[string][]*submission)
	for _, h := range jobs {
		if !h.beyond {
			byOrganisation[h.record.Organisation] = append(byOrganisation[h.record.Organisation], h)
		}
	}
	var credits []float64
	for _, of := range byOrganisation {
		credits = append(credits, share(of))
	}
	slices.Sort(credits)
	count := min(len(credits), max(1, int(worstOrganisationsShare*float64(p.Organisations))))
	total := 0.0
	for _, credit := range credits[:count] {
		total += credit
	}
	return total / float64(max(1, count))
}

// within returns the jobs that are within what their organisations usually submit.
func within(jobs []*submission) []*submission {
	return slices.DeleteFunc(slices.Clone(jobs), func(h *submission) bool { return h.beyond })
}
