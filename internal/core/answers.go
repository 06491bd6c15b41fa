// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/once"
	"github.com/leverdyke/leverdyke/internal/state"
)

// givenBytes bounds the bodies in one message of answers.
const givenBytes = 256 << 10

// onceWait waits for the answer to a key from one peer or several.
type onceWait struct {
	reply chan node.OnceReply
	// first is whose key it is by the log. Its word alone says that nothing ran:
	// another node may have refused a retry under the key.
	first state.NodeID
	// left counts the peers that have not replied.
	left int
}

// AskOnce asks for the answer to a key that another process was first to have;
// reply must have room for one. If that process stops, is silent or has ended,
// all nodes of the region are asked: it may have given its answers to one of
// them. The returned number is for GiveUpOnce.
func (c *Core) AskOnce(first state.NodeID, key once.Key, reply chan node.OnceReply) uint64 {
	c.onceID++
	id := c.onceID
	peers := []state.NodeID{first}
	alive := c.members.Alive(c.now(), c.options.Region, false)
	owner, ok := c.state.Keys[key]
	switch {
	case ok && !c.state.IsLive(owner):
		peers = alive
	case !slices.Contains(alive, first):
		peers = append(alive, first)
	}
	w := &onceWait{reply: reply, first: first}
	c.onceWaiting[id] = w
	for _, peer := range peers {
		if c.out.Send(peer, &node.Message{OnceAsk: &node.OnceAsk{ID: id, Key: key}}) {
			w.left++
		}
	}
	if w.left == 0 {
		c.GiveUpOnce(id)
	}
	return id
}

// GiveUpOnce ends the wait for an answer that does not come.
func (c *Core) GiveUpOnce(id uint64) { c.settleOnce(&node.OnceReply{ID: id}) }

func (c *Core) onOnceReply(from state.NodeID, m *node.OnceReply) {
	w := c.onceWaiting[m.ID]
	if w == nil {
		return
	}
	w.left--
	isKnown := m.IsKnown && (m.Answer.Verdict != leverdyke.VerdictNotRun || from == w.first)
	switch {
	case isKnown:
		c.settleOnce(m)
	case w.left <= 0:
		c.GiveUpOnce(m.ID)
	}
}

func (c *Core) settleOnce(m *node.OnceReply) {
	if w := c.onceWaiting[m.ID]; w != nil {
		delete(c.onceWaiting, m.ID)
		w.reply <- *m
	}
}

// GiveAnswers gives the kept answers of this node, which is about to stop, to a
// peer; done is called once when the peer has them all, or at once when there
// is nobody. Answers that do not arrive are lost: a retry is then told that its
// request may have run.
func (c *Core) GiveAnswers(list []node.KeptAnswer, done func()) {
	heirs := c.members.Alive(c.now(), c.options.Region, false)
	if len(list) == 0 || len(heirs) == 0 {
		done()
		return
	}
	chunks := chunksOf(list)
	c.giving, c.given = len(chunks), done
	events.Log(events.ResponsesSentToPeer, "peer", heirs[0], "answers", len(list))
	for _, chunk := range chunks {
		c.out.Send(heirs[0], &node.Message{OnceKept: &node.OnceKept{Answers: chunk}})
	}
}

func chunksOf(list []node.KeptAnswer) [][]node.KeptAnswer {
	chunks := [][]node.KeptAnswer{}
	from, size := 0, 0
	for i := range list {
		if size > givenBytes {
			chunks = append(chunks, list[from:i])
			from, size = i, 0
		}
		size += len(list[i].Answer.Body)
	}
	return append(chunks, list[from:])
}

func (c *Core) onOnceKept(from state.NodeID, m *node.OnceKept) {
	c.out.KeepAnswers(m.Answers)
	c.out.Send(from, &node.Message{OnceTaken: &node.OnceTaken{}})
}

func (c *Core) onOnceTaken() {
	if c.giving == 0 {
		return
	}
	c.giving--
	if c.giving == 0 {
		c.given()
	}
}
