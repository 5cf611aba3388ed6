package main

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/pkg/api"
)

// units holds the suffixes of memory sizes, largest first.
var units = []struct {
	suffix string
	bytes  int64
}{{"T", 1 << 40}, {"G", 1 << 30}, {"M", 1 << 20}, {"K", 1 << 10}}

const millicores = 1000

// cores is a flag for a number of processors, such as 2 or 0.5, held in millicores.
type cores int64

// UnmarshalText reads a decimal number of cores.
func (c *cores) UnmarshalText(b []byte) error {
	f, err := strconv.ParseFloat(string(b), 64)
	if err != nil || !(f >= 0 && f < math.MaxInt64/millicores/2) {
		return errors.Newf("%q is not a number of processors, such as 2 or 0.5", b)
	}
	*c = cores(math.Round(f * millicores))
	return nil
}

// memory is a flag for a size such as 512M or 4G, held in bytes. The suffixes stand
// for powers of 1024.
type memory int64

// UnmarshalText reads a decimal number with an optional suffix K, M, G or T in
// either case, which B, I or IB may follow.
func (m *memory) UnmarshalText(b []byte) error {
	s, factor := strings.ToUpper(string(b)), int64(1)
	s = strings.TrimSuffix(strings.TrimSuffix(s, "B"), "I")
	for _, u := range units {
		if t, ok := strings.CutSuffix(s, u.suffix); ok {
			s, factor = t, u.bytes
			break
		}
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f >= 0 && f*float64(factor) < math.MaxInt64/2) {
		return errors.Newf("%q is not a size, such as 512M or 4G", b)
	}
	*m = memory(math.Round(f * float64(factor)))
	return nil
}

// formatMemory formats a size in bytes with the largest suitable suffix, rounded to
// one decimal.
func formatMemory(n int64) string {
	for _, u := range units {
		if n >= u.bytes {
			return strconv.FormatFloat(math.Round(float64(n)/float64(u.bytes)*10)/10, 'f', -1, 64) + u.suffix
		}
	}
	return strconv.FormatInt(n, 10)
}

// formatSize formats a size as processors/memory, followed by /accelerators if it
// has any.
func formatSize(s api.Size) string {
	if s == (api.Size{}) {
		return "-"
	}
	t := strconv.FormatFloat(float64(s.CPU)/millicores, 'f', -1, 64) + "/" + formatMemory(s.Memory)
	if s.Accelerators > 0 {
		t += fmt.Sprintf("/%d", s.Accelerators)
	}
	return t
}

// sizeFlags are the flags for a size. Those that are not given are nil.
type sizeFlags struct {
	CPU          *cores  `help:"Processors, such as 2 or 0.5."`
	Memory       *memory `help:"Memory, such as 512M or 4G."`
	Accelerators *int64  `help:"Whole accelerators."`
}

func (f sizeFlags) apply(s *api.Size) {
	setIfGiven(&s.CPU, (*int64)(f.CPU))
	setIfGiven(&s.Memory, (*int64)(f.Memory))
	setIfGiven(&s.Accelerators, f.Accelerators)
}

// setIfGiven stores the value of a flag if the flag was given.
func setIfGiven[T any](into *T, flag *T) {
	if flag != nil {
		*into = *flag
	}
}
