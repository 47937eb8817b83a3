package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger passes raft's messages to the dispatcher's logger, routine ones at debug level. It panics when raft reports an impossible
// state, which stops consensus at this member: see Node.recoverFailure.
type raftLogger struct{ log logrus.FieldLogger }

func (l raftLogger) Debug(v ...any)                   { l.log.Debug(v...) }
func (l raftLogger) Debugf(format string, v ...any)   { l.log.Debugf(format, v...) }
func (l raftLogger) Info(v ...any)                    { l.log.Debug(v...) }
func (l raftLogger) Infof(format string, v ...any)    { l.log.Debugf(format, v...) }
func (l raftLogger) Warning(v ...any)                 { l.log.Debug(v...) }
func (l raftLogger) Warningf(format string, v ...any) { l.log.Debugf(format, v...) }
func (l raftLogger) Error(v ...any)                   { l.log.Warn(v...) }
func (l raftLogger) Errorf(format string, v ...any)   { l.log.Warnf(format, v...) }
func (l raftLogger) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
