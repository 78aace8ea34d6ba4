package e577979

import "time"

// The types of build e577979, with the names of their fields and without those of types,
// which are not written.
type (
	ExchangeArgs struct {
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

	ExchangeReply struct {
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

	RecallArgs struct {
		Team   string
		Amount int64
	}

	ReserveArgs struct {
		ID struct {
			Process string
			Number  uint64
		}
		Team    string
		Amount  int64
		Wait    int64
		Patient bool
	}

	ReserveReply struct {
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

	Settlements []struct {
		ID struct {
			Process string
			Number  uint64
		}
		Spent int64
	}

	RecordsArgs struct {
		Records []struct {
			Attempt  string
			Software string
		}
	}

	FindReply struct {
		Software string
		Known    bool
	}

	TeamsSinceArgs struct {
		Revision int64
		Wire     int
	}

	TeamsSinceReply struct {
		Rows []struct {
			Key      string
			Version  int64
			Revision int64
			Value    []byte
			Deleted  bool
		}
		Through int64
		More    bool
	}

	BillsReplicateArgs struct {
		Wire  int
		Owner struct {
			Host        string
			Incarnation uint64
		}
		Settled uint64
		Copies  []struct {
			Sequence uint64
			Base     uint64
			Bill     struct {
				Request [16]uint8
				Keyed   bool
				Team    string
				Class   string
				Share   struct {
					Budget string
					Holder struct {
						Host        string
						Incarnation uint64
					}
				}
				Usage struct {
					Prompt    int64
					Generated int64
				}
				Cost     int64
				Finished time.Time
			}
		}
	}

	BillsReplicateReply struct {
		Wire int
		Held bool
	}

	BillsAcknowledgeArgs struct {
		Wire  int
		Owner struct {
			Host        string
			Incarnation uint64
		}
		Settled uint64
	}

	BillsAcknowledgeReply struct {
		Wire int
	}

	CallsUpdateArgs struct {
		Wire    int
		Updates []struct {
			Request [16]uint8
			Target  struct {
				Upstream    string
				Incarnation uint64
				Zone        string
				Address     string
			}
			At       int64
			Finished bool
		}
	}

	CallsUpdateReply struct {
		Wire int
	}

	CallsFindArgs struct {
		Wire    int
		Request [16]uint8
	}

	CallsFindReply struct {
		Wire   int
		Target struct {
			Upstream    string
			Incarnation uint64
			Zone        string
			Address     string
		}
		Found bool
	}

	AdmitterExchangeArgs struct {
		From    string
		Zones   bool
		Demands []struct {
			Team string
			Part float64
		}
	}

	AdmitterExchangeReply struct {
		Parts []struct {
			Team string
			Part float64
		}
	}

	MembersPing struct {
		F struct {
			H string
			I uint64
			N uint32
			S uint8
			L bool
			Z string
			A string
			W int
			R int64
			C string
		}
		U []struct {
			H string
			I uint64
			N uint32
			S uint8
			L bool
			Z string
			A string
			W int
			R int64
			C string
		}
	}

	MembersPageArgs struct {
		Message struct {
			F struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
			U []struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
		}
		After string
	}

	MembersPageReply struct {
		Message struct {
			F struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
			U []struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
		}
		More bool
	}

	MembersPingRequestArgs struct {
		Message struct {
			F struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
			U []struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
		}
		Host       string
		Inc        uint64
		Address    string
		WaitMillis int64
	}

	MembersPingRequestReply struct {
		Message struct {
			F struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
			U []struct {
				H string
				I uint64
				N uint32
				S uint8
				L bool
				Z string
				A string
				W int
				R int64
				C string
			}
		}
		Reached bool
	}

	SharesDrawArgs struct {
		Wire  int
		Share struct {
			Budget string
			Holder struct {
				Host        string
				Incarnation uint64
			}
		}
		Sequence uint64
		Need     int64
		Want     int64
		Billed   int64
		Credited int64
		Returned int64
	}

	SharesReturnArgs struct {
		Wire  int
		Share struct {
			Budget string
			Holder struct {
				Host        string
				Incarnation uint64
			}
		}
		Billed   int64
		Credited int64
		Returned int64
	}

	SharesLedgerReply struct {
		Wire       int
		Status     uint8
		Granted    int64
		Billed     int64
		Credited   int64
		Returned   int64
		Moved      int64
		WrittenOff int64
		Sequence   uint64
		Remaining  int64
	}

	SharesRecallArgs struct {
		Wire  int
		Share struct {
			Budget string
			Holder struct {
				Host        string
				Incarnation uint64
			}
		}
		Need int64
	}

	SharesRecallReply struct {
		Wire  int
		Given int64
	}

	Ledger struct {
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

	Pledges struct {
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

	History struct {
		Gone map[string]int64 `json:"gone"`
	}
)
