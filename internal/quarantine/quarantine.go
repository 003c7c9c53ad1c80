package quarantine
type Table struct{}
