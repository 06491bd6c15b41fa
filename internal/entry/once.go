// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package entry

import (
	"context"
	"errors"
	"time"

	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/once"
	"github.com/leverdyke/leverdyke/internal/state"
)

const onceAskTimeout = 5 * time.Second

type keyResult struct {
	fate  once.Fate
	owner state.Owner
}

// claimKey asks the core to put a key into the log.
type claimKey struct {
	key   once.Key
	reply chan keyResult
}

func (e claimKey) apply(c *core) {
	if owner, ok := c.state.Keys[e.key]; ok {
		e.reply <- keyResult{once.FateLost, owner}
		return
	}
	if !c.isJoined() || c.isLogOut(c.now()) {
		e.reply <- keyResult{fate: once.FateNotTaken}
		return
	}
	c.node.writer.Put(state.Record{Once: &state.Once{Key: e.key}}, func(err error) {
		switch {
		case err == nil:
			e.reply <- keyResult{fate: once.FateWon}
		case errors.Is(err, state.ErrLost):
			e.reply <- keyResult{once.FateLost, c.state.Keys[e.key]}
		default:
			// Neither an append that was not made nor a batch that the fold
			// drops lets this process run the request.
			e.reply <- keyResult{fate: once.FateNotTaken}
		}
	})
}

// ClaimKey puts a key into the log and says who has it. After once.FateNotTaken
// nothing was run under the key by this call; once.FateOpen means that ctx ended
// before the log had answered, and that nothing was sent.
func (n *Node) ClaimKey(ctx context.Context, key once.Key) (once.Fate, state.NodeID) {
	reply := make(chan keyResult, 1)
	n.put(claimKey{key, reply})
	select {
	case r := <-reply:
		if r.fate == once.FateLost && r.owner == n.owner {
			return once.FateLost, n.owner.Node
		}
		if r.fate == once.FateLost {
			return once.FateLost, r.owner.Node
		}
		return r.fate, ""
	case <-ctx.Done():
		return once.FateOpen, ""
	case <-n.done:
		return once.FateNotTaken, ""
	}
}

// askOnce asks a peer for the answer to a key.
type askOnce struct {
	to    state.NodeID
	key   once.Key
	reply chan node.OnceReply
}

func (e askOnce) apply(c *core) {
	c.onceID++
	id := c.onceID
	c.onceWaiting[id] = e.reply
	if !c.node.links.Send(e.to, &node.Message{OnceAsk: &node.OnceAsk{ID: id, Key: e.key}}) {
		delete(c.onceWaiting, id)
		e.reply <- node.OnceReply{}
		return
	}
	c.node.wg.Add(1)
	go c.node.runOnceTimeout(id)
}

// runOnceTimeout gives up on an answer that does not come.
func (n *Node) runOnceTimeout(id uint64) {
	defer n.wg.Done()
	select {
	case <-n.done:
	case <-n.clock.After(onceAskTimeout):
		n.put(settled{func() { n.core.onOnceReply(&node.OnceReply{ID: id}) }})
	}
}

func (c *core) onOnceReply(m *node.OnceReply) {
	if reply := c.onceWaiting[m.ID]; reply != nil {
		delete(c.onceWaiting, m.ID)
		reply <- *m
	}
}

// FetchAnswer asks the node that was first to have a key for its answer; false
// means that the answer is not known.
func (n *Node) FetchAnswer(ctx context.Context, from state.NodeID, key once.Key) (node.SavedAnswer, bool) {
	reply := make(chan node.OnceReply, 1)
	n.put(askOnce{from, key, reply})
	select {
	case r := <-reply:
		return r.Answer, r.IsKnown
	case <-ctx.Done():
	case <-n.done:
	}
	return node.SavedAnswer{}, false
}

// answerOnce answers a peer's question for a key; if the request is still in
// progress, when it has ended.
func (n *Node) answerOnce(from state.NodeID, m *node.OnceAsk) {
	e := n.answers.Find(m.Key)
	if e == nil {
		n.links.Send(from, &node.Message{OnceReply: &node.OnceReply{ID: m.ID}})
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
	n.links.Send(from, &node.Message{OnceReply: &node.OnceReply{ID: id, IsKnown: isKnown, Answer: a}})
}

// Answers returns the answers that are kept for callers' retries.
func (n *Node) Answers() *once.Table { return n.answers }
