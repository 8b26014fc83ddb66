Feature: Callers are served through any instance

  Scenario: A draft is streamed completely
    Given a fleet of 2 instances with an engine and a plain service
    When partner-a asks instance 2 for a draft of 4 tokens
    Then the response is complete with the outcome answered

  Scenario: A caller without a key is rejected
    Given a fleet of 2 instances with an engine and a plain service
    When nobody asks instance 1 for a draft of 4 tokens
    Then the response is the error unauthenticated with the outcome not-run
