// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"time"

	"github.com/leverdyke/leverdyke/internal/core"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/once"
	"github.com/leverdyke/leverdyke/internal/state"
)

const onceAskTimeout = 5 * time.Second

// ClaimKey puts a key into the log and says who has it. After FateNotTaken
// nothing was run under the key by this call; FateOpen means that ctx ended
// before the log had answered, and that nothing was sent.
func (n *Node) ClaimKey(ctx context.Context, key once.Key) (once.Fate, state.NodeID) {
	reply := make(chan core.KeyResult, 1)
	n.put(func(c *core.Core) { c.ClaimKey(key, func(r core.KeyResult) { reply <- r }) })
	select {
	case r := <-reply:
		return r.Fate, r.Owner.Node
	case <-ctx.Done():
		return once.FateOpen, ""
	case <-n.done:
		return once.FateNotTaken, ""
	}
}

// FetchAnswer asks the node that was first to have a key for its answer; false
// means that the answer is not known.
func (n *Node) FetchAnswer(ctx context.Context, from state.NodeID, key once.Key) (node.SavedAnswer, bool) {
	reply := make(chan node.SavedAnswerReply, 1)
	id := ask(n, func(c *core.Core) uint64 { return c.QueryAnswer(from, key, reply) })
	select {
	case r := <-reply:
		return r.Answer, r.IsKnown
	case <-n.clock.After(onceAskTimeout):
	case <-ctx.Done():
	case <-n.done:
	}
	n.put(func(c *core.Core) { c.AbandonQuery(id) })
	return node.SavedAnswer{}, false
}

// AnswerKeyQuery answers a peer's question for a key; if the request is still in
// progress, when it has ended.
func (n *Node) AnswerKeyQuery(from state.NodeID, m *node.SavedAnswerRequest) {
	e := n.answers.Find(m.Key)
	if e == nil {
		n.links.Send(from, &node.Message{SavedAnswerReply: &node.SavedAnswerReply{ID: m.ID}})
		return
	}
	n.wg.Add(1)
	go n.runAnswerOnce(from, m.ID, e)
}

func (n *Node) runAnswerOnce(from state.NodeID, id uint64, e *once.Entry) {
	defer n.wg.Done()
	ctx, cancel := context.WithTimeout(n.ctx, onceAskTimeout)
	defer cancel()
	a, ok := e.Wait(ctx)
	isKnown := ok && a.Verdict != ""
	n.links.Send(from, &node.Message{SavedAnswerReply: &node.SavedAnswerReply{ID: id, IsKnown: isKnown, Answer: a}})
}

// StoreAnswers keeps the answers of a peer that stops.
func (n *Node) StoreAnswers(list []node.KeyedAnswer) { n.answers.Keep(list) }

// GiveAnswers gives this node's kept answers to a peer before the node stops;
// it returns when the peer has them, or ctx ends.
func (n *Node) GiveAnswers(ctx context.Context) {
	given := make(chan struct{})
	list := n.answers.Kept()
	n.put(func(c *core.Core) { c.HandOverAnswers(list, func() { close(given) }) })
	select {
	case <-given:
	case <-ctx.Done():
	case <-n.done:
	}
}

// Answers returns the answers that are kept for callers' retries.
func (n *Node) Answers() *once.Table { return n.answers }
