Feature: Whole answers from one attempt
  The router of requests meets messages of current and superseded attempts that are late, doubled, lost and out of order.
  Each answer must be whole and of one attempt, or end as an error; "not run" is said only of what did not run; what may
  not run twice is not tried again once it may have run.

  Scenario: Histories of many kinds
    When 3000 histories with seed 11 are run through the router
    Then every promise held

  Scenario Outline: Without <mechanism>, the histories show the fault
    Given the router does not see <mechanism>
    When 3000 histories with seed 11 are run through the router
    Then a promise was broken: "<fault>"

    Examples:
      | mechanism                             | fault                                                                    |
      | the numbers of attempts               | are not those of one attempt in order                                    |
      | the numbers of parts                  | are not those of one attempt in order                                    |
      | that an attempt may have run          | a request that may have run was called not run                           |
      | that work may not run twice           | a request that may not run twice was tried again after it may have run   |
