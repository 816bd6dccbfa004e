package placement

import (
	"math"
	"math/bits"
)

// Speeds are grouped into classes so that the cost of finding the fastest free
// worker does not depend on the number of workers.
const (
	// classWidth is the width of a speed class on the logarithmic scale: 3%,
	// about the error of a learned speed.
	classWidth   = 0.03
	speedClasses = 256
	wordBits     = 64
)

// speedClass is a class of workers with about the same speed; 0 is the fastest.
type speedClass int

// classOf returns the class of a logarithmic speed; 0 is the fastest.
func classOf(log float64) speedClass {
	c := int(math.Round(log/classWidth)) + speedClasses/2
	return speedClass(min(max(c, 0), speedClasses-1))
}

// classFactors holds the run time of each class relative to an average worker.
var classFactors = func() (f [speedClasses]float64) {
	for c := range f {
		f[c] = math.Exp(float64(c-speedClasses/2) * classWidth)
	}
	return f
}()

// factor returns the run time in the class relative to an average worker.
func (c speedClass) factor() float64 {
	return classFactors[c]
}

// classSet is a set of speed classes.
type classSet [speedClasses / wordBits]uint64

func (s *classSet) add(c speedClass)    { s[c/wordBits] |= 1 << (c % wordBits) }
func (s *classSet) remove(c speedClass) { s[c/wordBits] &^= 1 << (c % wordBits) }

// next returns the first class in the set at or after c, or speedClasses.
func (s *classSet) next(c speedClass) speedClass {
	for c < speedClasses {
		word := s[c/wordBits] >> (c % wordBits)
		if word != 0 {
			return c + speedClass(bits.TrailingZeros64(word))
		}
		c = (c/wordBits + 1) * wordBits
	}
	return speedClasses
}

// prev returns the last class in the set at or before c, or -1.
func (s *classSet) prev(c speedClass) speedClass {
	for c >= 0 {
		shift := wordBits - 1 - c%wordBits
		word := s[c/wordBits] << shift
		if word != 0 {
			return c - speedClass(bits.LeadingZeros64(word))
		}
		c = c/wordBits*wordBits - 1
	}
	return -1
}

// speedIndex holds links to workers by speed class. Within a class the link
// added last is taken first, so that tasks of one job go to few workers.
type speedIndex struct {
	classes classSet
	links   [speedClasses][]*link
	size    int
}

func (x *speedIndex) add(l *link) {
	l.index = x
	l.position = len(x.links[l.class])
	x.links[l.class] = append(x.links[l.class], l)
	x.classes.add(l.class)
	x.size++
}

func (x *speedIndex) remove(l *link) {
	row := x.links[l.class]
	last := len(row) - 1
	row[l.position] = row[last]
	row[l.position].position = l.position
	row[last] = nil
	x.links[l.class] = row[:last]
	if last == 0 {
		x.classes.remove(l.class)
	}
	l.index = nil
	x.size--
}
