package dispatch

// generationBits is the number of low bits of a fencing token, which number the orders to a worker within
// a term. Tokens pass through JSON, whose numbers are exact up to 53 bits, which leaves 26 for terms.
const generationBits = 27

// maxGeneration is the highest number. Beyond it tokens no longer rise within the term.
const maxGeneration = 1<<generationBits - 1

// generation numbers the orders that this leader sends under one worker ID. The number rises with each
// record of a worker, and with a start after an acknowledgement that may still arrive.
type generation uint64

// fence returns the fencing token of orders to a worker's incarnation. It rises with the term and
// with the generation, so that an incarnation that has received one order refuses whatever was
// sent in former ones: starts, and listings with their lease and acknowledgement.
func (t *term) fence(w *worker) uint64 {
	return t.number<<generationBits | w.generation
}

// TermOf returns the term of a fencing token.
func TermOf(fence uint64) uint64 { return fence >> generationBits }

// setGeneration numbers the orders to a worker whose record is new. The former record's acknowledgements may
// still arrive, also those to the same incarnation.
func (t *term) setGeneration(w *worker) {
	g, known := t.generations[w.ID]
	if known && g < maxGeneration {
		g++
	}
	t.generations[w.ID] = g
	w.generation = uint64(g)
}

// separateStart has the worker refuse, once it has received the next start, an acknowledgement that was
// sent before. Ends are numbered anew in each incarnation, so that the next one, if it receives both
// late, would forget the end of that start.
func (t *term) separateStart(w *worker) {
	g := t.generations[w.ID]
	if w.openAcks == 0 || g == maxGeneration {
		return
	}
	g++
	t.generations[w.ID] = g
	w.generation, w.openAcks = uint64(g), 0
}
