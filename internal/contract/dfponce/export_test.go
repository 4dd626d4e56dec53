package dfponce

// Faults returns the configuration with mechanisms switched off by name.
func (c Config) Faults(names ...string) Config {
	for _, name := range names {
		switch name {
		case "one_vote":
			c.faults.oneVote = true
		case "accept_any_epoch":
			c.faults.acceptAnyEpoch = true
		case "skip_copy":
			c.faults.skipCopy = true
		case "count_unsynced":
			c.faults.countUnsynced = true
		case "keep_first_on_merge":
			c.faults.keepFirstOnMerge = true
		case "ignore_key_time":
			c.faults.ignoreKeyTime = true
		case "accept_late_grant":
			c.faults.acceptLateGrant = true
		default:
			panic("unknown fault " + name)
		}
	}
	return c
}

// Faults returns the configuration with mechanisms switched off by name.
func (c LedgerConfig) Faults(names ...string) LedgerConfig {
	for _, name := range names {
		switch name {
		case "no_bar":
			c.faults.noBar = true
		case "no_watermark":
			c.faults.noWatermark = true
		default:
			panic("unknown fault " + name)
		}
	}
	return c
}
