"""The agreement of a fleet of gateways on quotas: decisions without I/O, without a clock of their own.

::

    messages, time, the gateway's demand --> FleetNode (node.py) --> StepOutput: a write, the quota, messages
                                                 |
          +------------------+-------------------+-------------------+
          |                  |                   |                   |
      Membership         LeaseHolder         LocalStore          ReplicaHost: Bootstrap, StoreFence
      who is alive       the gateway's       what is to be           |
        member_table     lease and quota     persisted           Replica
        failure_detector   spending_rights                           |
        gossip             gateway_floor              +--------------+--------------+
        local_health       demand_tracker             |              |              |
                           request_schedule        RaftNode     QuotaLedger    LeaseManager,
                                                   (consensus)                 while it leads
                                                     raft_log
                                                     elections
                                                     replication

Records that travel or are stored are in ``*_messages.py`` and ``log_commands.py``; what a store holds is in
``persisted_state.py``; what operators are shown is in ``operator_views.py``.
"""
