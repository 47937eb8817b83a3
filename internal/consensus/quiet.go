package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// quiet puts what raft says into our log: its daily business at debug level. What it takes for impossible panics, and ends
// this member's part in the agreement.
type quiet struct{ log logrus.FieldLogger }

func (q quiet) Debug(v ...any)              { q.log.Debug(v...) }
func (q quiet) Debugf(f string, v ...any)   { q.log.Debugf(f, v...) }
func (q quiet) Info(v ...any)               { q.log.Debug(v...) }
func (q quiet) Infof(f string, v ...any)    { q.log.Debugf(f, v...) }
func (q quiet) Warning(v ...any)            { q.log.Debug(v...) }
func (q quiet) Warningf(f string, v ...any) { q.log.Debugf(f, v...) }
func (q quiet) Error(v ...any)              { q.log.Warn(v...) }
func (q quiet) Errorf(f string, v ...any)   { q.log.Warnf(f, v...) }
func (q quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
