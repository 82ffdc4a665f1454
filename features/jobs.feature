Feature: Jobs that may wait
  An accepted job is durable, is run by any host, and ends once.

  Background:
    Given job hosts "gateway-1, gateway-2, gateway-3"

  Scenario: A job runs to one answer
    When job "a" is submitted
    Then it is accepted
    And within 20 seconds job "a" is "finished" with one answer
    And job "a" has run 1 time

  Scenario: Many jobs on several hosts, each run once
    When 200 jobs are submitted
    Then within 600 seconds all jobs are "finished"
    And each job has run 1 time

  Scenario: The same key is the same job
    When job "a" is submitted under key "k1"
    And job "a" is submitted again under key "k1"
    Then both are the same job
    And job "a" has run 1 time after 20 seconds

  Scenario: The same key for other work
    When job "a" is submitted under key "k1"
    And job "b" is submitted again under key "k1"
    Then it is refused with status 422 and verdict "notRun"

  Scenario Outline: The platform is down at submission
    Given the jobs' switch "<fault>" is on
    When a job of 9000 characters is submitted
    Then it is refused with status 503 and verdict "notRun"
    And with the platform back, no job exists after 20 seconds

    Examples:
      | fault         |
      | isTableDown   |
      | isObjectsDown |

  Scenario Outline: The table's answer at submission is lost
    Given the jobs' platform has "<fault>" set to 1
    When job "a" is submitted
    Then <outcome>

    Examples:
      | fault       | outcome                                              |
      | lostAnswers | it is accepted                                       |
      | lostWrites  | it is refused with status 503 and verdict "notRun"   |
      | lateWrites  | it is refused with status 503 and verdict "notRun"   |

  Scenario: A submission whose row is not written leaves no object behind
    Given the jobs' platform has "lostWrites" set to 1
    And the table goes down for 60 seconds as soon as a write is lost
    When a job of 9000 characters is submitted
    Then it is refused with status 503 and verdict "mayHaveRun"
    And 0 jobs and 1 object are stored
    When 1 hour passes
    Then 0 jobs and 0 objects are stored

  Scenario: Jobs that have ended are kept for a week, those that have not for longer
    When a job of 9000 characters is submitted
    And 1 hour passes
    And from now on the hosts run no jobs, and one sweeps old rows
    And a job of 9001 characters is submitted
    And 167 hours pass
    Then 2 jobs and 3 objects are stored
    When 12 hours pass
    Then 1 job and 1 object are stored

  Scenario: A job that cannot be run fails a day after its time
    Given every run fails as "notRun", to be tried again after 30 minutes
    When job "a" is submitted, due in 1 second
    And 23 hours pass
    Then within 1 seconds job "a" is "queued" and its run is given up
    When 1 hour passes
    Then within 3600 seconds job "a" is "failed" with verdict "notRun"

  Scenario: The host that runs a job dies
    Given runs take 10 seconds
    When job "a" is submitted
    And the host that runs it dies after 5 seconds
    Then within 90 seconds job "a" is "finished" with one answer
    And job "a" has run 2 times

  Scenario: A job that may run only once is not run again
    Given runs take 10 seconds
    When job "a" is submitted to run at most once
    And the host that runs it dies after 5 seconds
    Then within 90 seconds job "a" is "failed" with verdict "mayHaveRun"
    And job "a" has run 1 time

  Scenario: Without that rule it runs twice
    Given job hosts that repeat every job
    And runs take 10 seconds
    When job "a" is submitted to run at most once
    And the host that runs it dies after 5 seconds
    Then within 90 seconds job "a" is "finished" with one answer
    And job "a" has run 2 times

  Scenario: A host is cut off, others take its job over, and its late answer is dropped
    Given runs take 10 seconds
    When job "a" is submitted
    And the host that runs it loses the table after 5 seconds, for 60 seconds
    Then within 120 seconds job "a" is "finished" with one answer
    And 60 seconds later job "a" has the same answer

  Scenario: The table is down while jobs run
    Given runs take 10 seconds
    When 20 jobs are submitted
    And the table is down for 300 seconds from second 5 on
    Then within 600 seconds all jobs are "finished"
    And each job has run 1 time

  Scenario: A job that was not run is tried again
    Given the first 3 runs fail as "notRun"
    When job "a" is submitted
    Then within 60 seconds job "a" is "finished" with one answer

  Scenario: A job that is late is run nevertheless
    Given runs are refused that are due within 12 seconds
    When job "a" is submitted, due in 1 second
    Then within 120 seconds job "a" is "finished" with one answer

  Scenario: A job that was refused for good fails
    Given the first 1 run fails as "refused"
    When job "a" is submitted
    Then within 60 seconds job "a" is "failed" with verdict "notRun"
    And job "a" has run 0 times

  Scenario: A job is cancelled while it runs
    Given runs take 30 seconds
    When job "a" is submitted
    And job "a" is cancelled after 5 seconds
    Then within 10 seconds job "a" is "cancelled" and its run is given up
    And 60 seconds later job "a" is still "cancelled"

  Scenario: The end of a job is written although the answer to the write is lost
    Given runs take 10 seconds
    When job "a" is submitted
    And the jobs' platform loses 1 answer after 8 seconds
    Then within 60 seconds job "a" is "finished" with one answer
    And job "a" has run 1 time

  Scenario: Jobs cost few writes
    When 200 jobs are submitted at once
    Then within 600 seconds all jobs are "finished"
    And a job has cost at most 1 write and 8 reads

  Scenario: Jobs that come one by one
    When 200 jobs are submitted
    Then within 600 seconds all jobs are "finished"
    And a job has cost at most 4 writes and 8 reads
