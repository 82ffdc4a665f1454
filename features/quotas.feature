Feature: Quotas of client accounts that all hosts keep together
  The limit of a window of 8 s is (rate x 8 s + burst) x 1.1 + 110,000 tokens, whatever fails.

  Scenario Outline: An account below its limit is refused although nothing has failed
    Given <hosts> hosts with accounts of 29000, 110000 and 330000 tokens per second
    When the accounts use 55% of their rates for 20 s
    Then no account is refused more than <refused>% of its tokens
    And no host sends more than <messages> messages per second on average

    Examples:
      | hosts | refused | messages |
      | 7     | 0.1     | 30       |
      | 74    | 0.1     | 16       |
      | 340   | 0.1     | 8        |

  Scenario Outline: An account that asks for four times its limit stays far below it
    Given <hosts> hosts with accounts of 29000, 110000 and 330000 tokens per second
    When the account of 330000 asks for 400% of its rate for 20 s, and the others use 55%
    Then the account of 330000 spends at least 93% of its rate
    And no account spends more than its limit in any window

    Examples:
      | hosts |
      | 7     |
      | 74    |
      | 340   |

  Scenario Outline: An account is refused in a burst that its window bears
    Given <hosts> hosts with accounts of 29000, 110000 and 330000 tokens per second
    When the accounts use 55% of their rates for 14 s, and 165% for 3 s
    Then no account is refused more than 1% of its tokens
    And no account spends more than its limit in any window

    Examples:
      | hosts |
      | 7     |
      | 74    |
      | 340   |

  # Guards against an overdraft that is granted once more by a granter that knows nothing of it.
  Scenario Outline: Bursts that begin shortly before <failures>
    Given <hosts> hosts with accounts of 29000, 110000 and 330000 tokens per second
    Then no account spends more than its limit in any window if bursts of 400% begin 0.3, 1, 2 or 3 s before <failures>

    Examples:
      | hosts | failures                                            |
      | 7     | the granter dies                                    |
      | 74    | the granter dies                                    |
      | 7     | the granter and its deputy die together             |
      | 7     | the granter is cut off                              |
      | 7     | the granter and its deputy are cut off from the store |
      | 74    | the granter and a third of the hosts are cut off    |
      | 7     | the granter and two thirds of the hosts are cut off |
      | 7     | the granter is frozen                               |
      | 7     | the deputy is frozen                                |
      | 7     | all hosts restart at once                           |
      | 74    | all hosts restart at once                           |

  Scenario Outline: Hosts that do not know of each other spend an account's rate more than once
    Given <hosts> hosts with accounts of 29000, 110000 and 330000 tokens per second
    When the accounts ask for 400% of their rates for 50 s while <failures>
    Then no account spends more than its limit in any window

    Examples:
      | hosts | failures                                        |
      | 7     | the granter dies                                |
      | 74    | the granter dies                                |
      | 340   | the granter dies                                |
      | 7     | the granter and its deputy die together         |
      | 7     | the granter is cut off                          |
      | 74    | the granter is cut off                          |
      | 7     | the granter and a third of the hosts are cut off |
      | 74    | the granter and a third of the hosts are cut off |
      | 340   | the granter and a third of the hosts are cut off |
      | 7     | the granter and two thirds of the hosts are cut off |
      | 74    | the granter and two thirds of the hosts are cut off |
      | 7     | the granter is frozen                           |
      | 74    | the granter is frozen                           |
      | 7     | the deputy is frozen                            |
      | 7     | all hosts restart at once                       |
      | 74    | all hosts restart at once                       |
      | 340   | all hosts restart at once                       |
      | 7     | the store is unavailable                        |
      | 74    | 30% of the messages are lost                    |

  Scenario Outline: Sequences of failures
    Given <hosts> hosts with accounts of 29000, 110000 and 330000 tokens per second
    Then no account spends more than its limit in any window of <runs> random histories of failures <load>

    Examples:
      | hosts | runs | load       |
      | 7     | 12   | alone      |
      | 74    | 3    | alone      |
      | 7     | 24   | and bursts |
      | 74    | 3    | and bursts |

  Scenario Outline: A lowered limit is not in force after 11 s
    Given <hosts> hosts with accounts of 29000, 110000 and 330000 tokens per second
    When the accounts ask for 400% of their rates for 40 s, and all rates are lowered to a quarter at 10 s
    Then no account spends more than a quarter of its limit in any window from 21 s on

    Examples:
      | hosts |
      | 7     |
      | 74    |

  Scenario Outline: Token counts that no request has
    When a request of an account with 100 tokens for plain requests states "<counts>"
    Then it costs <cost>

    Examples:
      | counts     | cost |
      | 490,200    | 690  |
      | 0,0        | 0    |
      | none       | 100  |
      | -5,200     | 100  |
      | NaN,200    | 100  |
      | Infinity,1 | 100  |

  Scenario: Reports with token counts beyond all bounds are dropped, those of other accounts in them too
    Given 7 hosts with accounts of 29000, 110000 and 330000 tokens per second
    When each host gets 10 requests of 1e308 tokens of the account of 29000, and then the accounts use 55% of their rates for 20 s
    Then hosts can read all messages of each other

  Scenario: Each of several hosts lets an account spend its whole quota
    Given 3 hosts before a platform whose account "acme" may spend 1000 tokens per second
    When callers with the key of "acme" send 40 requests of 100 tokens per second through all hosts for 12000 ms
    Then at most 99 of them ran in any window of 8 s, and at least 76 in the last one
    And each of the others got 429 with a time to come back and did not run, and the lines tell why
