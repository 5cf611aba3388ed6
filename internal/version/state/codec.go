package state

import (
	"github.com/cockroachdb/errors"

	"github.com/rosemaryloft/rosemaryloft/internal/version/codec"
)

// Encode encodes a command for the log.
func Encode(command Command) ([]byte, error) {
	b, err := codec.Encode(command)
	return b, errors.Wrap(err, "encode command")
}

// Decode decodes a command. It fails if the command does not have exactly one
// of its pointer fields set.
func Decode(command []byte) (Command, error) {
	var c Command
	if err := codec.Decode(command, &c); err != nil {
		return Command{}, errors.Wrap(err, "decode command")
	}
	if c.kinds() != 1 {
		return Command{}, errors.Newf("command has %d kinds set, want 1", c.kinds())
	}
	return c, nil
}

// kinds returns how many of the command's pointer fields are set.
func (c *Command) kinds() int {
	n := 0
	for _, set := range [...]bool{
		c.Team != nil, c.Entry != nil, c.Key != nil, c.Submit != nil, c.Cancel != nil, c.Join != nil,
		c.Depart != nil, c.Drain != nil, c.Round != nil, c.Ends != nil, c.Intent != nil, c.Settle != nil,
		c.Expire != nil, c.Session != nil, c.Lead != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
