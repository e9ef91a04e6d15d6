"""How a fleet of gateways agrees on quotas: decisions without I/O and without a clock of their own.

::

    messages, time, the gateway's demand --> FleetNode (node.py) --> StepOutput: a write, the quota, messages
                                                 |
          +------------------+-------------------+-------------------+
          |                  |                   |                   |
      Membership         LeaseHolder         LocalStore          ReplicaHost: Bootstrap, StoreFence
      which gateways     the gateway's       the state to            |
      are alive          lease and quota     persist             Replica
        member_table                                                 |
        failure_detector   spending_rights                           |
        gossip             gateway_floor              +--------------+--------------+
        local_health       demand_tracker             |              |              |
                           request_schedule        RaftNode     QuotaLedger    LeaseManager,
                                                   (consensus)                 while it leads
                                                     raft_log
                                                     elections
                                                     replication

Records that are sent or stored are in ``*_messages.py`` and ``log_commands.py``, the content of a store in
``persisted_state.py``, and the operators' views in ``operator_views.py``.
"""
