Feature: Shares of client accounts at an endpoint
  Where accounts want more than an endpoint can do, those that were given more than their weighted share come after the others.

  Scenario: Accounts below an equal share are never over it
    Then in 500 random histories no account that was given at most its weight's part is over its share

  Scenario: No account is over its share while all demand is met
    Then in 500 random histories without unmet demand no account is over its share

  Scenario: Some account is always within its share
    Then in 500 random histories not all accounts are over their share

  Scenario: Requests without an account are never over a share
    Then in 500 random histories requests without an account are not over a share

  Scenario: Memory is bounded with thousands of accounts, and the one in steady use is kept
    When 5000 accounts have sent one request each beside an account in steady use
    Then no more accounts are tracked than the limit
    And the account in steady use is over its share

  Scenario: A large account keeps its usual use while another sends many times its usual
    When accounts want 30, 10, 10, 75 ms and are given 30, 10, 5, 55 ms
    Then only account 4 is over its share

  Scenario: An account is no longer over its share once its use has decayed
    When accounts want 10, 30, 30, 75 ms and are given 10, 10, 10, 75 ms
    Then only account 4 is over its share
    When accounts 1 to 3 have been given all they want for 10 s
    Then no account is over its share
