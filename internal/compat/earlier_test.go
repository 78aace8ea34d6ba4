package compat

// The types of build e577979, with the names of their fields and without those of types,
// which are not written.
type (
	earlierExchangeArgs struct {
		Host          string
		ConfigVersion int64
		ListRevision  struct {
			Era    int64
			Number int64
		}
		Loads []struct {
			Upstream string
			Running  int
			Unread   int64
		}
		Quarantine struct {
			Digest  uint64
			Crashes []struct {
				Part     string
				Depth    int
				Own      bool
				Upstream string
				Age      int64
				Origin   string
				SameZone bool
				Repeat   bool
			}
			Answers []struct {
				Part string
				Age  int64
			}
		}
		Limits []struct {
			Upstream  string
			PerSecond float64
			Age       int64
		}
		Brittle []struct {
			Service   string
			Tolerance int
			Age       int64
		}
		WantsConfig  bool
		WantsServers bool
	}

	earlierExchangeReply struct {
		Host          string
		ConfigVersion int64
		ConfigAge     int64
		Config        []byte
		ListRevision  struct {
			Era    int64
			Number int64
		}
		Rows []struct {
			Table    string
			Part     string
			Key      string
			Value    []byte
			Revision struct {
				Era    int64
				Number int64
			}
			Deleted bool
		}
		ListSettled bool
		Loads       []struct {
			Upstream string
			Running  int
			Unread   int64
		}
		Quarantine struct {
			Digest  uint64
			Crashes []struct {
				Part     string
				Depth    int
				Own      bool
				Upstream string
				Age      int64
				Origin   string
				SameZone bool
				Repeat   bool
			}
			Answers []struct {
				Part string
				Age  int64
			}
		}
		Limits []struct {
			Upstream  string
			PerSecond float64
			Age       int64
		}
		Brittle []struct {
			Service   string
			Tolerance int
			Age       int64
		}
	}

	earlierRecallArgs struct {
		Team   string
		Amount int64
	}

	earlierReserveArgs struct {
		ID struct {
			Process string
			Number  uint64
		}
		Team    string
		Amount  int64
		Wait    int64
		Patient bool
	}

	earlierReserveReply struct {
		Grant struct {
			Outcome     string
			Available   int64
			Unallocated int64
			Elsewhere   int64
			Unsure      int64
			Prepaid     int64
			StoreAway   bool
			Version     int64
			Shortage    *struct {
				Parts struct {
					Spent           int64
					Available       int64
					Unpledged       int64
					Unallocated     int64
					Returning       int64
					HeldReachable   int64
					HeldUnasked     int64
					Reserved        int64
					HeldUnreachable int64
					Withheld        int64
					Barred          int64
					Lost            int64
					Unsettled       int64
					Unsure          int64
					Unread          int64
					Overdrawn       int64
				}
				Holders []struct {
					Host        string
					Tokens      int64
					Unreachable bool
				}
			}
		}
		Leaving bool
	}

	earlierSettlements []struct {
		ID struct {
			Process string
			Number  uint64
		}
		Spent int64
	}

	earlierRecordsArgs struct {
		Records []struct {
			Attempt  string
			Software string
		}
	}

	earlierFindReply struct {
		Software string
		Known    bool
	}

	earlierLedger struct {
		Settled  int64 `json:"settled"`
		Unsure   int64 `json:"unsure"`
		Holdings map[string]struct {
			Host        string  `json:"h"`
			Granted     int64   `json:"g"`
			Spent       int64   `json:"s"`
			Demand      float64 `json:"d"`
			EnteredAt   int64   `json:"t,omitempty"`
			Unconfirmed bool    `json:"u,omitempty"`
		} `json:"holdings"`
		Mark struct {
			Era      int64 `json:"e"`
			Sequence int64 `json:"n"`
		} `json:"mark"`
		Base struct {
			Mark struct {
				Era      int64 `json:"e"`
				Sequence int64 `json:"n"`
			} `json:"m"`
			Settled   int64 `json:"s"`
			Unsure    int64 `json:"u"`
			Allocated int64 `json:"a,omitempty"`
			Complete  bool  `json:"c,omitempty"`
		} `json:"base"`
		ReopenedAt int64 `json:"reopened_at,omitempty"`
		Withheld   *struct {
			Amount   int64 `json:"a"`
			Lowering bool  `json:"l,omitempty"`
			Next     int64 `json:"n,omitempty"`
			At       int64 `json:"t,omitempty"`
		} `json:"withheld,omitempty"`
		Room     *int64 `json:"room,omitempty"`
		Replaced *struct {
			Allocated int64 `json:"a"`
			Withheld  int64 `json:"w"`
			Era       int64 `json:"e,omitempty"`
		} `json:"replaced,omitempty"`
		Lost      int64    `json:"lost,omitempty"`
		Unsettled int64    `json:"unsettled,omitempty"`
		Closed    []string `json:"closed,omitempty"`
	}

	earlierPledges struct {
		Era     int64  `json:"era,omitempty"`
		Process string `json:"process"`
		Clock   int64  `json:"clock"`
		Pledges map[string]struct {
			Spent  int64   `json:"c"`
			Burst  int64   `json:"b"`
			Outage int64   `json:"o"`
			Rate   float64 `json:"r"`
			Demand float64 `json:"d"`
		} `json:"pledges"`
	}

	earlierHistory struct {
		Gone map[string]int64 `json:"gone"`
	}
)
