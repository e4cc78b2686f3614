package raftnode

import "fmt"

// silentLogger is a logger for the protocol engine that discards all messages. Its Fatal and Panic methods still panic,
// since the engine relies on it.
type silentLogger struct{}

func (silentLogger) Debug(...any)                   {}
func (silentLogger) Debugf(string, ...any)          {}
func (silentLogger) Error(...any)                   {}
func (silentLogger) Errorf(string, ...any)          {}
func (silentLogger) Info(...any)                    {}
func (silentLogger) Infof(string, ...any)           {}
func (silentLogger) Warning(...any)                 {}
func (silentLogger) Warningf(string, ...any)        {}
func (silentLogger) Fatal(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silentLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
func (silentLogger) Panic(v ...any)                 { panic(fmt.Sprint(v...)) }
func (silentLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
