// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package order

// generationBits is how many bits of a fencing token hold the generation; the bits above them
// hold the owner's epoch. Tokens stay below 2^53, up to which JSON numbers are exact, for more
// than 8,000 million epochs.
const generationBits = 20

// Token returns the fencing token of an order. A worker rejects orders whose token is lower than
// the highest that it has seen. The token rises with the owner's epoch, and within an epoch with
// the generation.
func Token(epoch, generation uint64) uint64 {
	return epoch<<generationBits | min(generation, 1<<generationBits-1)
}
