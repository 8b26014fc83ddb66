Feature: A booking happens once

  Scenario: A resend through another instance is answered from the record
    Given a fleet of 2 instances with an engine and a plain service
    When partner-a books reel 7 through instance 1 with a key of instance 1
    And partner-a books reel 7 again through instance 2
    Then the answer is replayed and reel 7 was booked once

  Scenario: A key is of no use to another workspace
    Given a fleet of 2 instances with an engine and a plain service
    When partner-a books reel 8 through instance 1 with a key of instance 2
    And partner-b books reel 8 again through instance 1
    Then the answer is the error key_void and reel 8 was booked once
