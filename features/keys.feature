Feature: A booking with an idempotency key runs once

  Scenario: A retry through another instance gets the stored response
    Given a fleet of 2 instances with an engine and a plain service
    When partner-a books reel 7 through instance 1 with a key issued by instance 1
    And partner-a books reel 7 again through instance 2
    Then the response is replayed and reel 7 was booked once

  Scenario: A key is rejected in another workspace
    Given a fleet of 2 instances with an engine and a plain service
    When partner-a books reel 8 through instance 1 with a key issued by instance 2
    And partner-b books reel 8 again through instance 1
    Then the response is the error key_void and reel 8 was booked once
