Feature: A caller is served through any instance

  Scenario: A draft is streamed to its end
    Given a fleet of 2 instances with an engine and a plain service
    When partner-a asks instance 2 for a draft of 4 tokens
    Then the answer is whole and says it was answered

  Scenario: A caller without a key is turned away
    Given a fleet of 2 instances with an engine and a plain service
    When nobody asks instance 1 for a draft of 4 tokens
    Then the answer is the error unauthenticated and says it was not run
