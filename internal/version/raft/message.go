package raft

// Message is sent between replicas. The raft package defines its fields.
type Message struct{}
