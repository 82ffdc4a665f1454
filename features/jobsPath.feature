Feature: Jobs on the callers' port

  Background:
    Given a system with 2 engines, 1 scheduler and 2 gateways
    And class "soon" finishes within 4000 ms

  Scenario: A job is accepted on one gateway and read on the other
    When gateway 1 is asked to accept a job of 5 tokens
    Then the answer has status 202
    And gateway 2 shows the job as "finished", with 5 tokens

  Scenario: Jobs are listed in pages
    When gateway 1 is asked to accept 5 jobs
    Then gateway 2 lists 5 jobs in pages of 2

  Scenario: A job is cancelled
    When gateway 1 is asked to accept a job of 100000 tokens
    And gateway 2 is asked to cancel the job
    Then the answer has status 200
    And gateway 2 shows the job as "cancelled"

  Scenario: A job that does not exist
    When gateway 1 is asked for job "job-nobody"
    Then the answer has status 404
    And the answer says verdict "not-run" and code "job_not_found"

  Scenario: A job that is wrong in itself
    When gateway 1 is asked to accept a job for "nobody"
    Then the answer has status 404
    And the answer says verdict "not-run" and code "model_not_found"
