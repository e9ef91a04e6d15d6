"""The agreement of a fleet of gateways on quotas: decisions without I/O, without a clock of their own.

::

    messages, time, the gateway's demand --> FleetNode (node.py) --> StepOutput: a write, the quota, messages
                                                |
        +--------------------+------------------+----------------+-----------------------+
        |                    |                  |                |                       |
    Membership           Bootstrap          StoreFence       LeaseHolder              Replica
    who is alive         how the fleet      is the store     this gateway's           one of the log's
      member_table         begins           the latest?      lease and quota          replicas
      failure_detector                                         spending_rights          RaftNode (consensus)
      gossip                                                   gateway_floor              raft_log
      local_health                                             demand_tracker             elections
                                                               request_schedule           replication
                                                                                        QuotaLedger
                                                                                        LeaseManager, while
                                                                                        it leads

Records that travel or are stored are in ``*_messages.py`` and ``log_commands.py``; what a store holds is in
``persisted_state.py``; what operators are shown is in ``operator_views.py``.
"""
