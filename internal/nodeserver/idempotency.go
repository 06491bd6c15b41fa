// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package nodeserver

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
)

const answerQueryTimeout = 5 * time.Second

// ClaimKey appends a record for a key to the log and returns the outcome, and the node that
// has claimed the key if it is another one. ClaimUnknown means that ctx ended before the
// log had answered. Only after ClaimWon may the caller send the request; in all other cases
// this call has caused no execution.
func (n *Node) ClaimKey(ctx context.Context, key idempotency.Key) (idempotency.ClaimOutcome, state.NodeID) {
	reply := make(chan core.KeyResult, 1)
	n.enqueue(func(c *core.Core) { c.ClaimKey(key, func(r core.KeyResult) { reply <- r }) })
	select {
	case r := <-reply:
		return r.Fate, r.Owner.Node
	case <-ctx.Done():
		return idempotency.ClaimUnknown, ""
	case <-n.done:
		return idempotency.ClaimNotRecorded, ""
	}
}

// FetchAnswer requests the answer for a key from the node that has claimed it; false means
// that the answer is not known.
func (n *Node) FetchAnswer(ctx context.Context, from state.NodeID, key idempotency.Key) (node.SavedAnswer, bool) {
	reply := make(chan node.SavedAnswerReply, 1)
	id := query(n, func(c *core.Core) uint64 { return c.QueryAnswer(from, key, reply) })
	select {
	case r := <-reply:
		return r.Answer, r.IsKnown
	case <-n.clock.After(answerQueryTimeout):
	case <-ctx.Done():
	case <-n.done:
	}
	n.enqueue(func(c *core.Core) { c.AbandonQuery(id) })
	return node.SavedAnswer{}, false
}

// AnswerKeyQuery replies to another node's query for the answer to a key. If the request is
// still in progress, it replies when the request has ended.
func (n *Node) AnswerKeyQuery(from state.NodeID, m *node.SavedAnswerRequest) {
	e := n.answers.Find(m.Key)
	if e == nil {
		n.links.Send(from, &node.Message{SavedAnswerReply: &node.SavedAnswerReply{ID: m.ID}})
		return
	}
	n.wg.Add(1)
	go n.sendAnswer(from, m.ID, e)
}

// sendAnswer waits for the answer and sends it. The reply says that the answer is not known
// if the wait times out.
func (n *Node) sendAnswer(from state.NodeID, id uint64, e *idempotency.Entry) {
	defer n.wg.Done()
	ctx, cancel := context.WithTimeout(n.ctx, answerQueryTimeout)
	defer cancel()
	a, ok := e.Wait(ctx)
	isKnown := ok && a.Verdict != ""
	n.links.Send(from, &node.Message{SavedAnswerReply: &node.SavedAnswerReply{ID: id, IsKnown: isKnown, Answer: a}})
}

// StoreAnswers stores the answers of another node that is about to stop.
func (n *Node) StoreAnswers(list []node.KeyedAnswer) { n.answers.Import(list) }

// HandOverAnswers sends the stored answers to another node before this one stops. It
// returns when that node has received them or ctx ends.
func (n *Node) HandOverAnswers(ctx context.Context) {
	delivered := make(chan struct{})
	list := n.answers.Completed()
	n.enqueue(func(c *core.Core) { c.HandOverAnswers(list, func() { close(delivered) }) })
	select {
	case <-delivered:
	case <-ctx.Done():
	case <-n.done:
	}
}

// Answers returns the table of the answers that are stored for callers' retries.
func (n *Node) Answers() *idempotency.Table { return n.answers }
