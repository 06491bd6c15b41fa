// Copyright 2026 The leverdyke Authors
// SPDX-License-Identifier: Apache-2.0

package core

import (
	"slices"

	"github.com/leverdyke/leverdyke"
	"github.com/leverdyke/leverdyke/internal/events"
	"github.com/leverdyke/leverdyke/internal/idempotency"
	"github.com/leverdyke/leverdyke/internal/node"
	"github.com/leverdyke/leverdyke/internal/state"
)

// maxMessageBytes is the size of the answers' bodies above which the next
// answers go into another message.
const maxMessageBytes = 256 << 10

// answerQuery is a query to one or several peers for the answer that was given
// to an idempotency key, while replies are outstanding.
type answerQuery struct {
	reply chan node.SavedAnswerReply
	// keyOwner is the node that has the key according to the log. Only from this
	// node is the answer accepted that nothing ran: another node may have refused
	// a retry with the same key while the first request ran.
	keyOwner state.NodeID
	// missingReplies is the number of peers that have not replied.
	missingReplies int
}

// QueryAnswer asks for the answer that another process gave to an idempotency
// key. The result is sent to reply, whose buffer must have capacity for one. If the
// process is draining, sends no heartbeats or has ended, all live nodes of the region
// are asked, since it may have handed its answers over to one of them. The
// returned ID is for AbandonQuery.
func (c *Core) QueryAnswer(keyOwner state.NodeID, key idempotency.Key, reply chan node.SavedAnswerReply) uint64 {
	c.lastQueryID++
	id := c.lastQueryID
	peers := []state.NodeID{keyOwner}
	alive := c.members.Alive(c.now(), c.options.Region, false)
	owner, ok := c.state.IdempotencyKeys[key]
	switch {
	case ok && !c.state.IsLive(owner):
		peers = alive
	case !slices.Contains(alive, keyOwner):
		peers = append(alive, keyOwner)
	}
	q := &answerQuery{reply: reply, keyOwner: keyOwner}
	c.answerQueries[id] = q
	for _, peer := range peers {
		if c.env.Send(peer, &node.Message{SavedAnswerRequest: &node.SavedAnswerRequest{ID: id, Key: key}}) {
			q.missingReplies++
		}
	}
	if q.missingReplies == 0 {
		c.AbandonQuery(id)
	}
	return id
}

// AbandonQuery ends a query whose answer has not arrived; its result is that the
// answer is unknown.
func (c *Core) AbandonQuery(id uint64) { c.resolveQuery(&node.SavedAnswerReply{ID: id}) }

func (c *Core) onAnswerReply(from state.NodeID, m *node.SavedAnswerReply) {
	q := c.answerQueries[m.ID]
	if q == nil {
		return
	}
	q.missingReplies--
	isKnown := m.IsKnown && (m.Answer.Verdict != leverdyke.VerdictNotRun || from == q.keyOwner)
	switch {
	case isKnown:
		c.resolveQuery(m)
	case q.missingReplies <= 0:
		c.AbandonQuery(m.ID)
	}
}

func (c *Core) resolveQuery(m *node.SavedAnswerReply) {
	if q := c.answerQueries[m.ID]; q != nil {
		delete(c.answerQueries, m.ID)
		q.reply <- *m
	}
}

// HandOverAnswers sends the stored answers of this node, which is about to stop,
// to a peer. It calls done when the peer has acknowledged all of them, or at
// once if there are no answers or no peer. Answers that do not arrive are lost:
// a retry is then answered that its request may have run.
func (c *Core) HandOverAnswers(answers []node.KeyedAnswer, done func()) {
	successors := c.members.Alive(c.now(), c.options.Region, false)
	if len(answers) == 0 || len(successors) == 0 {
		done()
		return
	}
	chunks := splitAnswers(answers)
	c.unacknowledgedMessages, c.handoverDone = len(chunks), done
	events.Log(events.ResponsesSentToPeer, "peer", successors[0], "answers", len(answers))
	for _, chunk := range chunks {
		c.env.Send(successors[0], &node.Message{SavedAnswerTransfer: &node.SavedAnswerTransfer{Answers: chunk}})
	}
}

func splitAnswers(answers []node.KeyedAnswer) [][]node.KeyedAnswer {
	chunks := [][]node.KeyedAnswer{}
	from, size := 0, 0
	for i := range answers {
		if size > maxMessageBytes {
			chunks = append(chunks, answers[from:i])
			from, size = i, 0
		}
		size += len(answers[i].Answer.Body)
	}
	return append(chunks, answers[from:])
}

func (c *Core) onHandedOverAnswers(from state.NodeID, m *node.SavedAnswerTransfer) {
	c.env.StoreAnswers(m.Answers)
	c.env.Send(from, &node.Message{SavedAnswerTransferAck: &node.SavedAnswerTransferAck{}})
}

func (c *Core) onHandoverAcknowledged() {
	if c.unacknowledgedMessages == 0 {
		return
	}
	c.unacknowledgedMessages--
	if c.unacknowledgedMessages == 0 {
		c.handoverDone()
	}
}
